package once

// ClearanceRequest asks a router to yield a key to a process.
type ClearanceRequest struct {
	// Key is the key.
	Key CallerKey `json:"key"`
	// Holder is the asker.
	Holder Holder `json:"holder"`
	// Group is the key's group by the asker's list.
	Group []string `json:"group"`
}

// ClearanceAnswer is the answer to a ClearanceRequest.
type ClearanceAnswer struct {
	// Granted tells that the key is yielded to the asker.
	Granted bool `json:"granted"`
	// Holder is the process that the key is yielded to, if it is another one.
	Holder *Holder `json:"holder,omitempty"`
	// Reason tells why the key is not yielded.
	Reason string `json:"reason,omitempty"`
}

// ReleaseRequest tells that an attempt was given up and will never run the key.
type ReleaseRequest struct {
	// Key is the key.
	Key CallerKey `json:"key"`
	// Holder is the sender with the attempt.
	Holder Holder `json:"holder"`
}
