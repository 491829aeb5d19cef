package stand2

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a deployment; every machine has an address of its own.
type ports struct{ front, ready, control, firstPeer, store, worker int }

// deployment is a small deployment: the store, gateways as processes of their own, and workers.
type deployment struct {
	net      int
	ports    ports
	dir      string
	store    *store
	gateways []*gatewayProcess
	record   *record
	zones    []string
}

// gatewayProcess is one machine with a gateway.
type gatewayProcess struct {
	name, ip, zone string
	settings       string
	cmd            *exec.Cmd
	ended          chan struct{}
	log            *os.File
}

func newDeployment(r *record, count int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, net: 20 + rand.IntN(200), zones: []string{"za", "zb", "zc"}}
	base := 20000 + rand.IntN(10000)
	d.ports = ports{front: base, ready: base + 1, control: base + 2, firstPeer: base + 10, store: base + 3, worker: base + 40}
	d.store, err = newStore(d.address(9, 1, d.ports.store))
	if err != nil {
		return nil, err
	}
	for i := range count {
		g := &gatewayProcess{name: fmt.Sprintf("front-%d", i+1), ip: d.ip(1, i+1), zone: d.zones[i%len(d.zones)]}
		g.settings = filepath.Join(dir, g.name+".toml")
		g.log, err = os.Create(filepath.Join(dir, g.name+".log"))
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, g)
	}
	return d, nil
}

func (d *deployment) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.net, kind, number)
}

func (d *deployment) address(kind, number, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(kind, number), port)
}

// writeSettings writes the settings of a gateway, as the platform does at each start.
func (d *deployment) writeSettings(g *gatewayProcess, bootstrap bool) error {
	var seeds []string
	for _, other := range d.gateways[:min(3, len(d.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, d.ports.control)))
	}
	text := fmt.Sprintf(`nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "here"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = %v
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
za = "here"
zb = "here"
zc = "here"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
retrySlack = 54
recoveryS = 12
passMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, g.name, g.ip, g.zone, d.ports.firstPeer, d.ports.firstPeer+15, strings.Join(seeds, ","), bootstrap,
		g.ip, d.ports.front, g.ip, d.ports.ready, g.ip, d.ports.control, d.address(9, 1, d.ports.store))
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts a gateway with the command of the deploy file.
func (d *deployment) start(g *gatewayProcess, bootstrap bool) error {
	if err := d.writeSettings(g, bootstrap); err != nil {
		return err
	}
	cmd := exec.Command("target/cardamompoint", "gateway")
	cmd.Env = []string{"CARDAMOMPOINT_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // No gateway outlives the script.
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (g *gatewayProcess) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// running reports whether the process of the gateway has not ended.
func (g *gatewayProcess) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// ready asks a gateway once whether it is ready.
func (d *deployment) ready(g *gatewayProcess) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", g.ip, d.ports.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range d.gateways {
			all = all && d.ready(g)
		}
		if all {
			return true
		}
	}
	return false
}

func (d *deployment) front(g *gatewayProcess) string {
	return fmt.Sprintf("%s:%d", g.ip, d.ports.front)
}

// close ends all processes.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.cmd != nil && g.running() {
			g.signal(syscall.SIGCONT)
			g.signal(syscall.SIGKILL)
			<-g.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
