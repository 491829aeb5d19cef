package stand3

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of each machine, as in the examples of DEPLOY.md.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	storePort   = 8223
	workerPort  = 8080
)

// machine is a machine of the system and the process on it.
type machine struct {
	name, ip, zone string
	// peerPort is the first of the ports for other machines.
	peerPort int
	process  *exec.Cmd
	exited   chan struct{}
	failure  error
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// fleet holds the machines of a small deployment: 7 in 3 zones, as on the page of Gelek Pin.
type fleet struct {
	record   *record
	program  string
	dir      string
	network  string
	machines []*machine
}

var zones = []string{"kv-a", "kv-b", "kv-c"}

// freeNetwork returns the first two numbers of loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for offset := range 100 {
		network := fmt.Sprintf("127.%d", 100+(os.Getpid()+offset)%120)
		if isFree(fmt.Sprintf("%s.1.1:%d", network, frontPort)) && isFree(fmt.Sprintf("%s.9.1:%d", network, storePort)) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free addresses")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}

// newFleet returns a fleet with counts machines in the zones.
func newFleet(r *record, program, dir, network string, counts []int) *fleet {
	f := &fleet{record: r, program: program, dir: dir, network: network}
	for at, count := range counts {
		for number := 1; number <= count; number++ {
			f.machines = append(f.machines, &machine{
				name: fmt.Sprintf("front-%s-%d", zones[at], number),
				ip:   fmt.Sprintf("%s.%d.%d", network, at+1, number),
				zone: zones[at],

				peerPort: peerPort(len(f.machines)),
			})
		}
	}
	return f
}

// settings returns the settings file of a machine: the example of DEPLOY.md with the bounds of the small sites.
func (f *fleet) settings(m *machine, bootstrap bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "nodeName = %q\nrole = \"gateway\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = \"klang-valley\"\ninternalPorts = [%d,7355]\n", m.ip, m.zone, m.peerPort)
	fmt.Fprintf(&b, "seeds = [\"%s.1.1:%d\",\"%s.2.1:%d\",\"%s.3.1:%d\"]\n", f.network, controlPort, f.network, controlPort, f.network, controlPort)
	fmt.Fprintf(&b, "bootstrap = %t\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n", bootstrap)
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n")
	b.WriteString("[zones]\nkv-a = \"klang-valley\"\nkv-b = \"klang-valley\"\nkv-c = \"klang-valley\"\n")
	fmt.Fprintf(&b, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", m.ip, frontPort, m.ip, readyPort, m.ip, controlPort)
	b.WriteString("[limits]\ncpuShare = 0.4\ncpuCores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	b.WriteString("[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n")
	b.WriteString("configMs = 2000\nrollbackSlackMs = 250\nouterMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\nretryRatio = 0.2\nbudgetWindowS = 10\n")
	b.WriteString("retrySlack = 54\nrecoveryS = 12\npassMs = 120\nreuseWindowS = 10\ncapFactor = 2\n")
	fmt.Fprintf(&b, "[platform]\naddress = \"%s.9.1:%d\"\nform = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n", f.network, storePort)
	return b.Bytes()
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine, bootstrap bool) error {
	path := filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(path, f.settings(m, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(f.program, "gateway")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMPOINT_SETTINGS=" + path}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		m.failure = process.Wait()
		close(exited)
	}(m.process, m.exited)
	f.record.write(m.name, "started", "pid", m.process.Process.Pid)
	return nil
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, m := range f.machines {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Kill()
		<-m.exited
	}
}
