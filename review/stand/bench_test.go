package stand

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// bench is what the cases share: the store, the workers, the gateways and the record.
type bench struct {
	// trouble reports whether the case plays its disruption.
	trouble bool
	record  *record
	// folder is a temporary folder for settings and logs.
	folder string
	// network is the first three numbers of all addresses, host the last one that was given out.
	network string
	host    int

	store        *store
	storeAddress string
	gateways     []*gateway
	workers      []*worker
}

func newBench(recordPath string, trouble bool) (*bench, error) {
	log, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, record: log, folder: folder}
	if err := b.chooseNetwork(); err != nil {
		return nil, err
	}
	b.store = newStore()
	b.storeAddress = net.JoinHostPort(b.nextIP(), fmt.Sprint(storePort))
	b.store.server, err = serve(b.storeAddress, b.store)
	if err != nil {
		return nil, err
	}
	log.line("disruption: %t; addresses: %s.x", trouble, b.network)
	return b, nil
}

// chooseNetwork chooses loopback addresses of which no port that the case needs is in use.
func (b *bench) chooseNetwork() error {
	for range 50 {
		b.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), rand.IntN(256))
		if b.isFree() {
			return nil
		}
	}
	return fmt.Errorf("%w: no free addresses", errCantRun)
}

// mostHosts is the largest number of hosts of a case.
const mostHosts = 40

func (b *bench) isFree() bool {
	for host := 1; host <= mostHosts; host++ {
		for _, port := range []int{frontPort, readyPort, controlPort, firstPeer, metricsPort, storePort, workerPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", b.network, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close() // A later use of the port would fail.
		}
	}
	return true
}

// nextIP returns the address of one more host.
func (b *bench) nextIP() string {
	b.host++
	return fmt.Sprintf("%s.%d", b.network, b.host)
}

// zones are the zones of the deployment.
var zones = []string{"kv-a", "kv-b", "kv-c"}

// addGateways adds gateways, which startAll starts.
func (b *bench) addGateways(count int) {
	for i := range count {
		name := fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1)
		b.gateways = append(b.gateways, &gateway{name: name, ip: b.nextIP(), zone: zones[i%len(zones)], settings: filepath.Join(b.folder, name+".toml")})
	}
}

// startAll starts all gateways for the first time and waits until they are ready.
func (b *bench) startAll() error {
	for _, g := range b.gateways {
		if err := b.start(g, true); err != nil {
			return fmt.Errorf("%w: %w", errCantRun, err)
		}
	}
	return b.awaitReady(b.gateways...)
}

// addWorker starts a worker and writes its entry to the store.
func (b *bench) addWorker(k *worker) error {
	number := len(b.workers) + 1
	k.id = fmt.Sprintf("i-%s-%d", k.service, number)
	k.zone = zones[number%len(zones)]
	k.address = net.JoinHostPort(b.nextIP(), fmt.Sprint(workerPort))
	k.born = time.Now().UnixMilli()
	server, err := serve(k.address, k)
	if err != nil {
		return fmt.Errorf("%w: %w", errCantRun, err)
	}
	k.server = server
	b.workers = append(b.workers, k)
	b.store.put(k.key(), k.entry("ready"))
	b.record.line("worker %s of %s runs at %s", k.id, k.service, k.address)
	return nil
}

// close ends all processes and servers. The folder with the logs stays if KEEP is set.
func (b *bench) close() {
	for _, g := range b.gateways {
		if g.process != nil && g.process.Process != nil {
			_ = g.process.Process.Kill() // It may have ended.
			<-g.exited
		}
	}
	for _, k := range b.workers {
		k.crash()
	}
	_ = b.store.server.Close() // Nobody uses it any more.
	b.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder) // It is temporary.
		return
	}
	fmt.Println("logs:", b.folder)
}
