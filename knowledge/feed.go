package knowledge

import "cardamompoint.example/cardamompoint/platform"

// feedLimit bounds the changes that are kept for other VMs.
const feedLimit = 512

// feed numbers the applied changes for other VMs. It is not safe for
// concurrent use.
type feed struct {
	first   int64
	changes []platform.Item
}

func newFeed() *feed {
	return &feed{first: 1}
}

// next returns the number of the next change.
func (f *feed) next() int64 {
	return f.first + int64(len(f.changes))
}

func (f *feed) add(item platform.Item) {
	f.changes = append(f.changes, item)
	if len(f.changes) > feedLimit {
		drop := feedLimit / 2
		f.changes = append([]platform.Item(nil), f.changes[drop:]...)
		f.first += int64(drop)
	}
}

// since returns the changes from a number on; ok is false if they are no
// longer known.
func (f *feed) since(number int64) ([]platform.Item, bool) {
	if number < f.first || number > f.next() {
		return nil, false
	}
	return append([]platform.Item(nil), f.changes[number-f.first:]...), true
}
