package placement

// listVersionBits is the number of low bits of a fencing token that hold the
// version of the list of VMs.
const listVersionBits = 24

// FencingToken returns the fencing token of orders that are based on a
// configuration revision and a version of the list of VMs. Both only increase,
// so an order that is based on an older view never has a higher token. Routers
// need no coordination for this.
func FencingToken(revision, listVersion int64) int64 {
	return revision<<listVersionBits | listVersion&(1<<listVersionBits-1)
}
