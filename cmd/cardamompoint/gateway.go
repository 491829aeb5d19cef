package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway"
	"cardamompoint.example/cardamompoint/internal/logsink"
	"cardamompoint.example/cardamompoint/platform"
)

// logCloseTimeout bounds the wait for the last log lines.
const logCloseTimeout = 300 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway on a platform with a store",
		Description: "Reads the settings file that " + platform.SettingsVariable + " names. Serves until SIGTERM:\n" +
			"it becomes unready, takes callers for a while longer and lets requests in progress end.\n" +
			"Structured log lines go to standard output.",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runGateway(ctx)
		},
	}
}

func runGateway(ctx context.Context) error {
	sink := logsink.New(os.Stdout)
	if err := logTo(sink); err != nil {
		return err
	}
	defer sink.Close(logCloseTimeout)
	defer klog.Flush()
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	boundMemory(settings.MemoryBytes)
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := gateway.New(settings)
	if err != nil {
		return err
	}
	g.CountDroppedLines(sink.Dropped)
	klog.InfoS("gateway: started", "version", programVersion(), "role", settings.Role, "node", settings.NodeName, "settings", settings.Checksum, "front", settings.FrontAddress, "ready", settings.ReadyAddress, "control", settings.ControlAddress, "domain", settings.FailureDomain, "seeds", settings.Seeds)
	go followSettings(hangUps, g, settings.Checksum)
	return g.Run(stopping)
}

// programVersion returns the revision that the program was built from.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

// settingsPeriod is how often the settings file is looked at without a signal.
const settingsPeriod = 3 * time.Second

// followSettings reloads the settings file when it has changed, at SIGHUP and
// every few seconds. It never ends: SIGHUP must stay handled to the end of the
// process, also after SIGTERM.
func followSettings(hangUp <-chan os.Signal, g *gateway.Gateway, checksum string) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-hangUp:
		case <-ticker.C:
		}
		next, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			klog.ErrorS(err, "gateway: the settings stay as they are")
			continue
		}
		if next.Checksum != checksum {
			checksum = next.Checksum
			g.Reload(next)
		}
	}
}

// logTo sends each log line to sink, once.
func logTo(sink io.Writer) error {
	klog.SetOutput(sink)
	return setLogFlags(map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"})
}

// collectPercent is the growth of the heap at which garbage is collected.
const collectPercent = 60

// boundMemory keeps the process well below the limit of the VM.
func boundMemory(limit int64) {
	debug.SetGCPercent(collectPercent)
	if limit > 0 {
		debug.SetMemoryLimit(limit / 2)
	}
}
