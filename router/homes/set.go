package homes

import (
	"slices"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

// Set is the set of live routers of one published list. It is immutable.
type Set struct {
	addresses []string
	ranked    *rank.Set
}

// NewSet returns the live routers of view's list. Unlisted routers, including
// this one, are not part of it.
func NewSet(view *member.View) *Set {
	set := &Set{}
	var nodes []rank.Node
	for _, vm := range view.List.VMs {
		if vm.Role == source.RoleRouter && vm.State == source.StateLive {
			set.addresses = append(set.addresses, vm.Address)
			nodes = append(nodes, rank.NewNode(vm.Address, 1))
		}
	}
	set.ranked = rank.NewSet(nodes)
	return set
}

// equal reports whether both sets have the same routers in the same order.
func (s *Set) equal(other *Set) bool {
	return slices.Equal(s.addresses, other.addresses)
}

// HomeOf returns the home of engine, the highest-ranked router for it, or an empty
// string if there is no router.
func (s *Set) HomeOf(engine string) string {
	var buffer [1]int
	order := s.ranked.AppendTop(buffer[:0], rank.Key("home", engine), 1)
	if len(order) == 0 {
		return ""
	}
	return s.addresses[order[0]]
}

// BackupOf returns the backup of a home, the highest-ranked other router for it, or
// an empty string if there is none.
func (s *Set) BackupOf(home string) string {
	var buffer [2]int
	for _, index := range s.ranked.AppendTop(buffer[:0], rank.Key("backup", home), 2) {
		if s.addresses[index] != home {
			return s.addresses[index]
		}
	}
	return ""
}

// RoleOf returns the role of the router at address for engine, and the engine's
// home.
func (s *Set) RoleOf(address, engine string) (role balance.Role, home string) {
	home = s.HomeOf(engine)
	if home == address {
		return balance.RoleHome, home
	}
	if home != "" && s.BackupOf(home) == address {
		return balance.RoleBackup, home
	}
	return balance.RoleNone, home
}
