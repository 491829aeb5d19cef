package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a gateway, on an IP address of its own.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	firstPeer   = 7340
	lastPeer    = 7355
	metricsPort = 9464
	storePort   = 8223
	workerPort  = 8080
)

// gateway is a process of the program under review on a VM of its own.
type gateway struct {
	name string
	ip   string
	zone string
	// settings is the path of its settings file.
	settings string
	process  *exec.Cmd
	exited   chan struct{}
	starts   int
}

// start starts the process with the command of the deploy file.
func (b *bench) start(g *gateway, bootstrap bool) error {
	if err := os.WriteFile(g.settings, []byte(b.settingsOf(g, bootstrap)), 0o600); err != nil {
		return err
	}
	g.starts++
	log, err := os.Create(filepath.Join(b.folder, fmt.Sprintf("%s-%d.log", g.name, g.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	g.process = exec.Command("target/cardamompoint", "gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMPOINT_SETTINGS=" + g.settings}
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	process := g.process
	go func() {
		_ = process.Wait() // A signal may have ended it.
		close(exited)
	}()
	b.record.line("%s (%s) was started", g.name, g.ip)
	return nil
}

// restart sends SIGTERM, waits until the process has ended, and starts it again.
func (b *bench) restart(g *gateway) error {
	b.record.line("%s gets SIGTERM", g.name)
	if err := g.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-g.exited:
	case <-time.After(8 * time.Second):
		b.record.line("%s gets SIGKILL", g.name)
		_ = g.process.Process.Kill() // It may have ended.
		<-g.exited
	}
	return b.start(g, false)
}

// kill ends the process at once.
func (b *bench) kill(g *gateway) {
	b.record.line("%s gets SIGKILL", g.name)
	_ = g.process.Process.Kill() // It may have ended.
	<-g.exited
}

// ready reports whether the gateway answers the readiness probe with 200.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", g.ip, readyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// front returns the address for clients.
func (g *gateway) front() string {
	return net.JoinHostPort(g.ip, fmt.Sprint(frontPort))
}

// awaitReady waits until all gateways are ready.
func (b *bench) awaitReady(gateways ...*gateway) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, g := range gateways {
			if g.ready() {
				count++
			}
		}
		if count == len(gateways) {
			b.record.line("%d gateways are ready", count)
			return nil
		}
	}
	return fmt.Errorf("%w: the gateways did not become ready", errCantRun)
}

// settingsOf returns the settings of a gateway, as in DEPLOY.md.
func (b *bench) settingsOf(g *gateway, bootstrap bool) string {
	var seeds []string
	for _, other := range b.gateways[:min(3, len(b.gateways))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, controlPort)))
	}
	return fmt.Sprintf(`nodeName = %q
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = %[2]q
zone = %[3]q
region = "klang-valley"
internalPorts = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = %[7]t
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kv-a = "klang-valley"
kv-b = "klang-valley"
kv-c = "klang-valley"
[listen]
front = "%[2]s:%[8]d"
ready = "%[2]s:%[9]d"
control = "%[2]s:%[10]d"
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
address = %[11]q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, g.name, g.ip, g.zone, firstPeer, lastPeer, strings.Join(seeds, ","), bootstrap, frontPort, readyPort, controlPort, b.storeAddress)
}
