package source

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestListFollowsChanges changes a list at random. Readers that are any number of
// versions behind, or start in between, must end with the same list.
func TestListFollowsChanges(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		source := NewVersionedList()
		readers := []*VersionedList{NewVersionedList(), NewVersionedList(), NewVersionedList()}
		for version := int64(1); version <= 80; version++ {
			change := VMList{Version: version, After: version - 1}
			vm := VM{Address: fmt.Sprint(random.IntN(12)), State: StateLive}
			switch random.IntN(3) {
			case 0:
				change.Removed = []string{vm.Address}
			case 1:
				vm.State = StateLeaving
				change.VMs = []VM{vm}
			default:
				change.VMs = []VM{vm}
			}
			source.Apply(change)
			reader := readers[random.IntN(len(readers))]
			from := append(readers, source)[random.IntN(len(readers)+1)]
			reader.Apply(from.Since(reader.Version()))
		}
		for _, reader := range readers {
			reader.Apply(source.Since(reader.Version()))
			if !reflect.DeepEqual(reader.Full(), source.Full()) {
				t.Fatalf("seed %d: the list is %v, want %v", seed, reader.Full(), source.Full())
			}
		}
	}
}

// TestListRefusesGap applies changes based on an unknown version, and an older
// list.
func TestListRefusesGap(t *testing.T) {
	list := NewVersionedList()
	list.Apply(VMList{Version: 3, VMs: []VM{{Address: "a"}}})
	if list.Apply(VMList{Version: 6, After: 5}) || list.Apply(VMList{Version: 2}) || list.Version() != 3 {
		t.Fatalf("the list is %+v", list.Full())
	}
}
