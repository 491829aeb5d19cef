package placement

// listBits is the room for the list's version in a fencing number.
const listBits = 24

// Fence returns the fencing number of orders that follow from a configuration
// revision and a version of the list of VMs. Both only rise, so an order from
// an older view never has a higher number. No coordination is needed.
func FencingToken(revision, listVersion int64) int64 {
	return revision<<listBits | listVersion&(1<<listBits-1)
}
