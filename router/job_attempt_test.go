package router

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/member"
)

// TestLostBackupOfGoneHomeIsAskedAgain guards against requests that keep asking a router which may not admit work.
func TestLostBackupOfGoneHomeIsAskedAgain(t *testing.T) {
	vms := testVMs(5, 0, 0)
	table := testTable(vms)
	gone := vms[1].Address
	table.HandleHeartbeat(member.Heartbeat{From: member.Identity{Address: gone}, Leaving: true}, time.Now())
	r := testRouter(table)
	set := r.setHistory.Update(table.View(), time.Now())
	asked := 0
	for i := range 200 {
		engine := fmt.Sprint("engine-", i)
		home := set.HomeOf(engine)
		backup := set.BackupOf(home)
		if home != gone || r.homeOf(table.View(), engine) != backup {
			continue
		}
		asked++
		j := &job{router: r, lostHomes: map[string]bool{home: true, backup: true}}
		if got := j.homeOf(engine); got != backup {
			t.Errorf("%s: %s is asked, only %s may admit work", engine, got, backup)
		}
	}
	if asked == 0 {
		t.Fatal("no engine's home is gone")
	}
}
