package once

// yield is what a Granter remembers of one key.
type yield struct {
	holder   Holder
	released bool
}

// take yields the key to holder unless another process has it or the attempt
// is an old one.
func (y *yield) take(holder Holder) ClearanceAnswer {
	if !y.holder.sameProcess(holder) && !y.released {
		other := y.holder
		return ClearanceAnswer{Holder: &other, Reason: "yielded to another process"}
	}
	if y.holder.sameProcess(holder) && y.givenUp(holder.Attempt) {
		return refuse("the attempt was given up")
	}
	y.holder, y.released = holder, false
	return ClearanceAnswer{Granted: true}
}

// givenUp reports whether the holder's process has given the attempt up.
func (y *yield) givenUp(attempt int64) bool {
	return attempt < y.holder.Attempt || (attempt == y.holder.Attempt && y.released)
}

// release takes back what was yielded to holder's attempt or to an earlier one.
func (y *yield) release(holder Holder) {
	if !y.holder.sameProcess(holder) || y.holder.Attempt > holder.Attempt {
		return
	}
	y.holder = holder
	y.released = true
}
