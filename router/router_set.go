package router

import (
	"slices"

	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/member"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/rank"
)

// routerSet is the live routers of one published list. It is immutable.
type routerSet struct {
	addresses []string
	nodes     []rank.Node
}

// newRouterSet returns the live routers of view's list. A router that the list
// does not name is not part of it, this router included.
func newRouterSet(view *member.View) *routerSet {
	set := &routerSet{}
	for _, vm := range view.List.VMs {
		if vm.Role == platform.RoleRouter && vm.State == platform.StateLive {
			set.addresses = append(set.addresses, vm.Address)
			set.nodes = append(set.nodes, rank.NewNode(vm.Address, 1))
		}
	}
	return set
}

func (s *routerSet) equal(other *routerSet) bool {
	return slices.Equal(s.addresses, other.addresses)
}

// homeOf returns the home of engine: the first router of its order. It is empty
// if there is no router.
func (s *routerSet) homeOf(engine string) string {
	order := rank.Top(rank.Key("home", engine), s.nodes, 1)
	if len(order) == 0 {
		return ""
	}
	return s.addresses[order[0]]
}

// backupOf returns the backup of a home: the first other router of the home's
// order. It is empty if there is none.
func (s *routerSet) backupOf(home string) string {
	for _, index := range rank.Top(rank.Key("backup", home), s.nodes, 2) {
		if s.addresses[index] != home {
			return s.addresses[index]
		}
	}
	return ""
}

// roleOf returns what the router at address is to engine by this list, and the
// engine's home.
func (s *routerSet) roleOf(address, engine string) (role balance.Role, home string) {
	home = s.homeOf(engine)
	if home == address {
		return balance.RoleHome, home
	}
	if home != "" && s.backupOf(home) == address {
		return balance.RoleBackup, home
	}
	return balance.RoleNone, home
}
