package homes

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	testStaleListWait = 4 * time.Second
	testLease         = 6 * time.Second
	testEngineCount   = 40
)

// viewOf returns the view of a list with the given routers.
func viewOf(version int64, routers ...string) *member.View {
	list := source.VMList{Version: version}
	for _, address := range routers {
		list.VMs = append(list.VMs, source.VM{Address: address, Role: source.RoleRouter, State: source.StateLive})
	}
	table := member.NewTable(member.Identity{Address: "self"}, time.Second)
	table.SetList(list, time.Now())
	return table.View()
}

// engineOf returns an engine whose home is the given router.
func engineOf(t *testing.T, set *Set, home string) string {
	t.Helper()
	for i := range 1000 {
		if engine := fmt.Sprint("engine-", i); set.HomeOf(engine) == home {
			return engine
		}
	}
	t.Fatal("the router is home of no engine")
	return ""
}

// TestNewHomeWaitsForTheOldOne checks that the new home of an engine acts only
// after the old one must have stopped, or once all routers have the new list.
func TestNewHomeWaitsForTheOldOne(t *testing.T) {
	now := time.Unix(1000, 0)
	histories := map[string]*History{"a": NewHistory(testStaleListWait, testLease), "c": NewHistory(testStaleListWait, testLease)}
	old, fresh := viewOf(5, "a", "b"), viewOf(6, "a", "b", "c")
	for _, history := range histories {
		history.Update(old, now)
		history.RecordSpread(5, now)
	}
	changed := now.Add(time.Hour)
	set := histories["c"].Update(fresh, changed)
	engine := engineOf(t, set, "c")
	if home := histories["a"].Update(old, changed).HomeOf(engine); home == "a" {
		if since := histories["a"].HomeSince("a", engine); since.After(changed) {
			t.Errorf("the old home with the old list may not act before %v", since)
		}
	}
	if since := histories["c"].HomeSince("c", engine); since != changed.Add(testStaleListWait) {
		t.Errorf("the new home may act %v after the change, not after the wait", since.Sub(changed))
	}
	histories["c"].RecordSpread(6, changed.Add(time.Second))
	if since := histories["c"].HomeSince("c", engine); since != changed.Add(time.Second) {
		t.Errorf("the new home may act %v after the change, not once the list has spread", since.Sub(changed))
	}
	if assignment := histories["c"].Assignment(set, "a", engine); assignment.Role == balance.RoleHome {
		t.Error("the old home is home by the new list")
	}
}

// TestHomeThatStaysDoesNotWaitAgain checks that a home which stays the same over
// many lists never waits, although only maxTerms terms are kept.
func TestHomeThatStaysDoesNotWaitAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	history := NewHistory(testStaleListWait, testLease)
	set := history.Update(viewOf(5, "a", "b"), now)
	engine := engineOf(t, set, "a")
	for version := int64(6); version < 6+2*maxTerms; version++ {
		now = now.Add(time.Minute)
		stays := set.HomeOf(engine) == "a"
		set = history.Update(viewOf(version, "a", "b", fmt.Sprint("c", version)), now)
		stays = stays && set.HomeOf(engine) == "a"
		if stays && history.HomeSince("a", engine).After(now) {
			t.Fatalf("version %d makes a home that stays wait", version)
		}
	}
	if len(history.terms) > maxTerms {
		t.Errorf("%d terms are remembered", len(history.terms))
	}
}

// TestNewBackupWaitsForOlderLeases checks that a new backup waits until the
// leases granted by an earlier backup have expired.
func TestNewBackupWaitsForOlderLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	history := NewHistory(testStaleListWait, testLease)
	set := history.Update(viewOf(5, "a", "b"), now)
	if backup := set.BackupOf("a"); backup != "b" {
		t.Fatalf("the backup of a is %q", backup)
	}
	if since := history.BackupSince("b", "a"); since != now.Add(testStaleListWait+testLease) {
		t.Errorf("the backup may act %v after the change", since.Sub(now))
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	history := NewHistory(testStaleListWait, testLease)
	history.Update(viewOf(6, "a", "b", "c"), now)
	if set := history.Update(viewOf(5, "a", "b"), now); len(set.addresses) != 3 {
		t.Error("an older list brings an older set of routers back")
	}
}

func TestUnlistedRouterIsNoHome(t *testing.T) {
	set := NewSet(viewOf(5, "a", "b"))
	for i := range testEngineCount {
		if role, _ := set.RoleOf("self", fmt.Sprint("engine-", i)); role != balance.RoleNone {
			t.Fatalf("a router that the list does not name has role %d", role)
		}
	}
}
