package once

// ClearanceRequest asks a router to grant a key to a process.
type ClearanceRequest struct {
	// Key is the key.
	Key CallerKey `json:"key"`
	// Holder is the process that asks.
	Holder Holder `json:"holder"`
	// Group is the key's group according to the sender's list of VMs.
	Group []string `json:"group"`
}

// ClearanceAnswer is the answer to a ClearanceRequest.
type ClearanceAnswer struct {
	// Granted reports whether the key is granted to the process that asked.
	Granted bool `json:"granted"`
	// Holder is the process that the key is granted to, if it is another one.
	Holder *Holder `json:"holder,omitempty"`
	// Reason explains why the key is not granted.
	Reason string `json:"reason,omitempty"`
}

// ReleaseRequest notifies a router that an attempt was abandoned and will never run
// the key's work.
type ReleaseRequest struct {
	// Key is the key.
	Key CallerKey `json:"key"`
	// Holder identifies the sender and the abandoned attempt.
	Holder Holder `json:"holder"`
}
