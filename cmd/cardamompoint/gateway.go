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

// logCloseTimeout bounds the time to write the last log lines at exit.
const logCloseTimeout = 300 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway on a platform with a store",
		Description: "Reads the settings file that " + platform.SettingsVariable + " names. Serves until SIGTERM:\n" +
			"it becomes unready, accepts requests for a while longer and lets those in progress finish.\n" +
			"Structured log lines go to standard output.",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runGateway(ctx)
		},
	}
}

func runGateway(ctx context.Context) error {
	sink := logsink.New(os.Stdout)
	if err := redirectLog(sink); err != nil {
		return err
	}
	defer sink.Close(logCloseTimeout)
	defer klog.Flush()
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes)
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g, err := gateway.New(settings)
	if err != nil {
		return err
	}
	g.CountDroppedLines(sink.Dropped)
	klog.InfoS("gateway: started", "version", programVersion(), "role", settings.Role, "node", settings.NodeName, "settings", settings.Checksum, "front", settings.FrontAddress, "ready", settings.ReadyAddress, "control", settings.ControlAddress, "domain", settings.FailureDomain, "seeds", settings.Seeds)
	go watchSettings(sighup, g, settings.Checksum)
	return g.Run(stopping)
}

// programVersion returns the VCS revision that the program was built from, or the module
// version if there is none.
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

// settingsPollPeriod is the time between two checks of the settings file without SIGHUP.
const settingsPollPeriod = 3 * time.Second

// watchSettings checks the settings file at SIGHUP and every settingsPollPeriod, and reloads
// it if it has changed. It never returns: SIGHUP must be handled until the process exits,
// also after SIGTERM.
func watchSettings(reload <-chan os.Signal, g *gateway.Gateway, checksum string) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
		case <-ticker.C:
		}
		next, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			klog.ErrorS(err, "gateway: invalid settings, keeping the previous ones")
			continue
		}
		if next.Checksum != checksum {
			checksum = next.Checksum
			g.Reload(next)
		}
	}
}

// redirectLog makes klog write each line exactly once, to sink.
func redirectLog(sink io.Writer) error {
	klog.SetOutput(sink)
	return setLogFlags(map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"})
}

// gcPercent is the growth of the heap, in percent, that starts a garbage collection.
const gcPercent = 60

// limitMemory sets gcPercent, and the soft memory limit of the runtime to half of limit, the
// VM's memory in bytes, if that is known: the process stays well below the limit of the VM.
func limitMemory(limit int64) {
	debug.SetGCPercent(gcPercent)
	if limit > 0 {
		debug.SetMemoryLimit(limit / 2)
	}
}
