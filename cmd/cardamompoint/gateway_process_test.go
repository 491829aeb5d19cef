package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
	"cardamompoint.example/cardamompoint/platform"
)

// hostedFleet is an emulated platform with one gateway as a separate process.
type hostedFleet struct {
	t       *testing.T
	net     string
	dir     string
	store   *hosted.Store
	engine  *hosted.Worker
	process *exec.Cmd
	// wait waits until the gateway has exited and returns how.
	wait         func() error
	settingsPath string
}

// startHosted starts an emulated store, an engine, a plain worker and a gateway process, and
// waits until the gateway is ready.
func startHosted(t *testing.T) *hostedFleet {
	t.Helper()
	f := &hostedFleet{t: t, net: fleettest.ReserveNetwork(t), dir: t.TempDir(), store: hosted.NewStore(), engine: hosted.NewWorker("engine-1")}
	f.serve(f.net+".0.200:7100", f.store)
	f.serve(f.net+".0.100:7200", f.engine)
	f.serve(f.net+".0.110:7200", hosted.NewWorker("plain-1"))
	f.store.Publish(hosted.DefaultConfiguration())
	f.store.PutEndpoint("engine-1", "engines", f.net+".0.100:7200", "ready")
	f.store.PutEndpoint("plain-1", "plain", f.net+".0.110:7200", "ready")
	f.settingsPath = filepath.Join(f.dir, "settings.toml")
	f.writeSettings("")
	f.start()
	return f
}

func (f *hostedFleet) serve(address string, handler http.Handler) {
	f.t.Helper()
	fleettest.Serve(f.t, address, handler)
}

func (f *hostedFleet) writeSettings(more string) {
	f.t.Helper()
	text := hosted.Settings(f.net+".0.1", [4]int{7001, 7002, 7003, 7010}, f.net+".0.200:7100", nil)
	if err := os.WriteFile(f.settingsPath, []byte(text+more), 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// start starts the gateway. Its output goes to a file.
func (f *hostedFleet) start() {
	f.t.Helper()
	log, err := os.Create(filepath.Join(f.dir, "gateway.log"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { log.Close() })
	f.process = exec.Command("cardamompoint", "gateway")
	f.process.Env = append(os.Environ(), platform.SettingsVariable+"="+f.settingsPath)
	f.process.Stdout, f.process.Stderr = log, log
	f.wait = fleettest.StartProcess(f.t, f.process)
	f.eventually("the gateway is ready", func() bool { return f.readiness() == http.StatusOK })
}

func (f *hostedFleet) readiness() int {
	response, err := http.Get("http://" + f.net + ".0.1:7002" + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (f *hostedFleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	if !fleettest.Eventually(condition) {
		f.t.Fatalf("timed out waiting until %s; the log:\n%s", what, f.logs())
	}
}

// logTail is how much of the end of each log is shown, in bytes.
const logTail = 3000

// logs returns the ends of the logs of all gateways.
func (f *hostedFleet) logs() string {
	paths, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	var text strings.Builder
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err.Error()
		}
		fmt.Fprintf(&text, "== %s\n%s\n", filepath.Base(path), raw[max(0, len(raw)-logTail):])
	}
	return text.String()
}

// startStream sends a request for a stream and returns the response.
func (f *hostedFleet) startStream(id string) *http.Response {
	f.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.net+".0.1:7001/chat/1", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = hosted.Host
	request.Header.Set("Cardamompoint-Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer "+hosted.Key)
	request.Header.Set("Cardamompoint-Model", "m")
	request.Header.Set("Cardamompoint-Prompt-Prefix", "a:10,b:5")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

// TestSignalsInSeriesCutNoStream alternates SIGHUP and SIGTERM during a stream: the stream
// must be complete, and the process must exit by itself afterwards.
func TestSignalsInSeriesCutNoStream(t *testing.T) {
	f := startHosted(t)
	f.engine.Events, f.engine.EventInterval = 150, 10*time.Millisecond
	response := f.startStream("00000000000000a1")
	defer response.Body.Close()
	f.writeSettings("# changed\n")
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := f.process.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Millisecond)
	}
	if status := f.readiness(); status != http.StatusServiceUnavailable {
		t.Errorf("after SIGTERM the readiness is %d", status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(body), fmt.Sprintf("data: piece %d\n\n", f.engine.Events)) {
		t.Errorf("the stream ended after %d bytes with %v", len(body), err)
	}
	if err := f.wait(); err != nil {
		t.Errorf("the process exited with %v; the log:\n%s", err, f.logs())
	}
}

// TestStatusShowsWhatAGatewayBelieves runs the status command for a gateway.
func TestStatusShowsWhatAGatewayBelieves(t *testing.T) {
	f := startHosted(t)
	out, err := exec.Command("cardamompoint", "status", "--gateway", f.net+".0.1:7003").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, part := range []string{"ready=true", "version=1", "store_lost=false", "endpoint engine-1 engines", "endpoint plain-1 plain"} {
		if !strings.Contains(string(out), part) {
			t.Errorf("%q lacks %q", out, part)
		}
	}
}

// TestExplainShowsWhereARequestGoes runs the explain command for a gateway, with valid and
// with incomplete or contradictory arguments.
func TestExplainShowsWhereARequestGoes(t *testing.T) {
	f := startHosted(t)
	control := f.net + ".0.1:7003"
	out, err := exec.Command("cardamompoint", "explain", "--gateway", control, "--host", hosted.Host, "--path", "/chat/1", "--prompt", "a:100,b:5").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, part := range []string{"route chat service engines version=1", "  1 engine-1 domain-a rank", "missing=100 reading=105"} {
		if !strings.Contains(string(out), part) {
			t.Errorf("%q lacks %q", out, part)
		}
	}
	for _, args := range [][]string{
		{"--gateway", control, "--host", hosted.Host},
		{"--gateway", control, "--host", hosted.Host, "--path", "/chat/1", "--chat", "x"},
		{"--gateway", control, "--host", hosted.Host, "--path", "/nowhere"},
		{"--router", control, "--workspace", "w"},
		{},
	} {
		if out, err := exec.Command("cardamompoint", append([]string{"explain"}, args...)...).CombinedOutput(); err == nil {
			t.Errorf("%v is accepted: %s", args, out)
		}
	}
}

// TestChangedSettingsAreReloaded changes the settings file, then makes it invalid, and sends
// SIGHUP after each change: the gateway must keep the last valid settings.
func TestChangedSettingsAreReloaded(t *testing.T) {
	f := startHosted(t)
	f.writeSettings("# changed\n")
	if err := f.process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	f.eventually("the settings are reloaded", func() bool { return strings.Contains(f.logs(), "settings were reloaded") })
	if err := os.WriteFile(f.settingsPath, []byte("ip = = 1"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := f.process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	f.eventually("the fault is logged", func() bool { return strings.Contains(f.logs(), "invalid settings, keeping the previous ones") })
	if status := f.readiness(); status != http.StatusOK {
		t.Errorf("the readiness is %d", status)
	}
}
