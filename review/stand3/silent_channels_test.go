package stand3

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Bounds of the small sites.
const (
	stable = 3 * time.Second
	drain  = 2 * time.Second
)

const (
	host        = "ficu95.example"
	depositPath = "/puxa403/"
	keyText     = "n2ctnfzs989anu6wsjnb"
	service     = "wuno96b"
)

// configuration returns a configuration with one route of a plain service whose requests may run once.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-2yhvz3p", "hostname": host, "prefix": depositPath, "kind": "non_idempotent", "timeoutMs": 1200, "latencyGoalMs": 150,
			"priority": 2, "service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumeStreams": false,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "keys": []string{keyText}, "priority": 1}},
	}
}

// deployment is a fleet with its store, workers and clients.
type deployment struct {
	record  *record
	dir     string
	network string
	store   *store
	runs    *runs
	workers []*worker
	fleet   *fleet
	links   *links
	load    *load
}

// newDeployment starts all but the clients.
func newDeployment(r *record, program string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, store: newStore(r), runs: &runs{}}
	if d.network, err = freeNetwork(); err != nil {
		return d, err
	}
	if err := d.store.serve(fmt.Sprintf("%s.9.1:%d", d.network, storePort)); err != nil {
		return d, err
	}
	for at := range zones {
		w, err := d.startWorker(at)
		if err != nil {
			return d, err
		}
		d.store.put("servers/"+w.id, w.entry("ready"))
	}
	d.store.put("op/config", configuration(7))
	d.fleet = newFleet(r, program, dir, d.network, []int{3, 2, 2})
	if d.links, err = newLinks(d.fleet.machines); err != nil {
		return d, err
	}
	if err := d.fleet.startAll(); err != nil {
		return d, err
	}
	return d, d.fleet.awaitReady(20 * time.Second)
}

// startWorker starts a worker, which is not registered yet.
func (d *deployment) startWorker(at int) (*worker, error) {
	w := newWorker(d.record, d.runs, fmt.Sprintf("i-worker-%d", at+1), service, zones[at%len(zones)], fmt.Sprintf("%s.8.%d", d.network, at+1))
	d.workers = append(d.workers, w)
	return w, w.serve()
}

// close ends all that was started. KEEP=1 keeps the logs of the gateways.
func (d *deployment) close() {
	if d.fleet != nil {
		d.fleet.stopAll()
	}
	for _, w := range d.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
	if d.links != nil {
		d.links.close()
	}
	if d.store.server != nil {
		_ = d.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs:", d.dir)
}

// goSilent lets all open channels between the machines and to the store go silent for good. New ones work.
func (d *deployment) goSilent() {
	d.record.write("channels", "go silent", "to_store", d.store.goSilent(), "between_machines", d.links.goSilent())
}

// silentChannels lets all open channels between the machines and to the store go silent while workers are replaced. The
// rule is DRAIN.
func silentChannels(r *record, program string, trouble bool) (bool, error) {
	d, err := newDeployment(r, program)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	d.load = startLoad(r, d.fleet.machines, 25, host, depositPath, keyText)
	time.Sleep(6 * time.Second)
	// Machines that don't read the store otherwise read it once when channels go silent, and keep a channel to it.
	for range 3 {
		if d.store.channels() == len(d.fleet.machines) || !trouble {
			break
		}
		d.goSilent()
		time.Sleep(12 * time.Second)
	}
	leaving, silentAt, goneAt, err := d.release(trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(drain + 1700*time.Millisecond) // It serves for 2 s longer than drainMs.
	leaving.exit()
	time.Sleep(3 * time.Second)
	d.load.end()
	return d.checkDrain(leaving, silentAt, goneAt, trouble), nil
}

// release replaces workers one after the other: the new one starts first, then the old one leaves, without reporting
// that it is draining. Meanwhile the channels to the store go silent.
func (d *deployment) release(trouble bool) (leaving *worker, silentAt, goneAt time.Time, err error) {
	first, err := d.startWorker(3)
	if err != nil {
		return nil, silentAt, goneAt, err
	}
	second, err := d.startWorker(4)
	if err != nil {
		return nil, silentAt, goneAt, err
	}
	d.store.put("servers/"+first.id, first.entry("ready"))
	time.Sleep(time.Duration(100+rand.IntN(800)) * time.Millisecond)
	silentAt = time.Now()
	if trouble {
		d.goSilent()
	}
	time.Sleep(100 * time.Millisecond)
	leaving = d.workers[0]
	d.store.remove("servers/" + leaving.id)
	goneAt = time.Now()
	time.Sleep(300 * time.Millisecond)
	d.store.put("servers/"+second.id, second.entry("ready"))
	return leaving, silentAt, goneAt, nil
}

// checkDrain reports whether a request reached a worker later than drainMs after the store acknowledged that it is gone,
// taken from the client by a machine in touch. Without the disruption all machines are in touch.
func (d *deployment) checkDrain(leaving *worker, silentAt, goneAt time.Time, trouble bool) bool {
	late := 0
	for _, one := range d.runs.all {
		a := d.load.attempts.byID[one.id]
		after := one.arrived.Sub(goneAt)
		if one.worker != leaving.id || after <= drain {
			continue
		}
		inTouch := !trouble || a.sent.Sub(silentAt) >= stable
		d.record.write("check", "ran late", "request", one.id, "after_ack_s", fmt.Sprintf("%.3f", after.Seconds()),
			"sent_after_silence_s", fmt.Sprintf("%.3f", a.sent.Sub(silentAt).Seconds()), "machine", a.machine.name, "in_touch", inTouch)
		if inTouch {
			late++
		}
	}
	statuses := map[int]int{}
	for _, a := range d.load.attempts.byID {
		statuses[a.status]++
	}
	d.record.write("check", "DRAIN", "late", late, "answers_by_status", statuses)
	fmt.Printf("DRAIN: %d requests reached the worker that had left, later than drainMs after the ack, through machines in touch; answers by status: %v\n",
		late, statuses)
	return late > 0
}
