package hosted

// item is a stored item or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}
