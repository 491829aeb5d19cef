package stand3

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// departure is a worker that has left, and when the store acknowledged that.
type departure struct {
	worker *worker
	at     time.Time
}

const (
	departures = 8
	// cutShare is the share of the waiting watches that the store cuts.
	cutShare = 0.25
	// servesOn is for how much longer than drainMs a worker that has left serves.
	servesOn = 2 * time.Second
)

// cutWatches lets the store cut waiting watches while workers are replaced one after the other. The rule is DRAIN.
func cutWatches(r *record, program string, trouble bool) (bool, error) {
	d, err := newDeployment(r, program)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		d.store.setCutShare(cutShare)
	}
	d.load = startLoad(r, d.fleet.machines, 12, host, depositPath, keyText)
	time.Sleep(4 * time.Second)
	// The new worker starts first, then the old one leaves. Soon after that the next new one starts.
	if err := d.register(len(zones)); err != nil {
		return false, err
	}
	var gone []departure
	for number := range departures {
		time.Sleep(4*time.Second + time.Duration(rand.IntN(900))*time.Millisecond)
		leaving := d.workers[number]
		d.store.remove("servers/" + leaving.id)
		gone = append(gone, departure{leaving, time.Now()})
		time.AfterFunc(drain+servesOn, leaving.exit)
		time.Sleep(300 * time.Millisecond)
		if err := d.register(len(zones) + number + 1); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	d.load.end()
	return d.checkDepartures(gone), nil
}

// register starts a worker and registers it.
func (d *deployment) register(at int) error {
	w, err := d.startWorker(at)
	if err == nil {
		d.store.put("servers/"+w.id, w.entry("ready"))
	}
	return err
}

// checkDepartures reports whether a request reached a worker later than drainMs after the store acknowledged that it is
// gone. All machines are in touch all the while.
func (d *deployment) checkDepartures(gone []departure) bool {
	late, concerned := 0, 0
	for _, left := range gone {
		count, worst := 0, time.Duration(0)
		for _, one := range d.runs.all {
			after := one.arrived.Sub(left.at)
			if one.worker != left.worker.id || after <= drain {
				continue
			}
			count++
			worst = max(worst, after)
			d.record.write("check", "ran late", "request", one.id, "worker", one.worker, "after_ack_s", fmt.Sprintf("%.3f", after.Seconds()))
		}
		d.record.write("check", "departure", "worker", left.worker.id, "late", count, "last_after_ack_s", fmt.Sprintf("%.3f", worst.Seconds()))
		late += count
		if count > 0 {
			concerned++
		}
	}
	statuses := map[int]int{}
	for _, a := range d.load.attempts.byID {
		statuses[a.status]++
	}
	d.record.write("check", "DRAIN", "late", late, "workers", concerned, "answers_by_status", statuses)
	fmt.Printf("DRAIN: %d requests reached workers that had left, later than drainMs after the ack (%d of %d workers); answers by status: %v\n",
		late, concerned, len(gone), statuses)
	return late > 0
}
