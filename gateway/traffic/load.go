package traffic

// Load is what an endpoint tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
