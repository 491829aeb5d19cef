package demo

import (
	"context"
	"encoding/json"
	"io/fs"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/examples"
	"cardamompoint.example/cardamompoint/internal/daemon"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/router"
	"cardamompoint.example/cardamompoint/settings"
)

// fleet is a running deployment.
type fleet struct {
	dir      string
	settings []*settings.Router
	platform *standin.Platform
	routers  []*router.Router
	engines  map[string]*standin.Engine
	services map[string]*standin.Service

	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// startFleet starts all processes of a deployment inside this one.
func startFleet(ctx context.Context, deployment string) (*fleet, error) {
	if !slices.Contains(examples.Deployments, deployment) {
		return nil, eris.Errorf("there is no deployment %q", deployment)
	}
	dir, err := os.MkdirTemp("", "cardamompoint-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "the settings can't be unpacked")
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{
		dir:      dir,
		platform: standin.NewPlatform(),
		engines:  map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
		stop:     stop,
	}
	if err := f.start(ctx, deployment); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, deployment string) error {
	if err := f.unpack(deployment); err != nil {
		return err
	}
	if err := f.platform.LoadPublished(filepath.Join(f.dir, "published")); err != nil {
		return err
	}
	if err := f.startStandins(ctx); err != nil {
		return err
	}
	return f.startRouters(ctx)
}

func (f *fleet) unpack(deployment string) error {
	sub, err := fs.Sub(examples.Files, deployment)
	if err != nil {
		return eris.Wrap(err, deployment)
	}
	return eris.Wrap(os.CopyFS(f.dir, sub), "the settings can't be unpacked")
}

func (f *fleet) startStandins(ctx context.Context) error {
	raw, err := os.ReadFile(filepath.Join(f.dir, "published", "vms.json"))
	if err != nil {
		return eris.Wrap(err, "the list of VMs can't be read")
	}
	var vms []platform.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return eris.Wrap(err, "the list of VMs can't be decoded")
	}
	for _, vm := range vms {
		switch vm.Role {
		case platform.RoleEngine:
			engine := standin.NewEngine(standin.EngineOptions{
				TokenInterval: standin.DefaultTokenInterval,
				CacheTokens:   standin.DefaultCacheTokens,
				KeepStreams:   standin.DefaultKeepStreams,
			})
			f.engines[vm.Address] = engine
			f.serve(ctx, vm.Address, engine.Handler())
		case platform.RoleService:
			service := standin.NewService(standin.ServiceOptions{Delay: standin.DefaultDelay})
			f.services[vm.Address] = service
			f.serve(ctx, vm.Address, service.Handler())
		}
	}
	return nil
}

func (f *fleet) serve(ctx context.Context, address string, handler http.Handler) {
	f.tasks.Go(func() { daemon.Serve(ctx, address, handler) })
}

func (f *fleet) startRouters(ctx context.Context) error {
	files, err := filepath.Glob(path.Join(f.dir, "settings", "*.json"))
	if err != nil {
		return eris.Wrap(err, "the settings can't be listed")
	}
	for i, file := range files {
		loaded, err := settings.Load(file)
		if err != nil {
			return err
		}
		if i == 0 {
			f.serve(ctx, loaded.Platform, f.platform.Handler())
		}
		r, err := router.New(router.Options{Settings: loaded})
		if err != nil {
			return err
		}
		f.settings = append(f.settings, loaded)
		f.routers = append(f.routers, r)
		f.tasks.Go(func() { r.Run(context.Background(), ctx) })
	}
	return f.waitReady(ctx)
}

const (
	readyTimeout = 15 * time.Second
	readyCheck   = 20 * time.Millisecond
)

func (f *fleet) waitReady(ctx context.Context) error {
	return waitFor(ctx, "all routers are ready", func() bool {
		for _, r := range f.routers {
			status := r.Status()
			if !status.Ready || len(status.Peers) < len(f.routers)-1 {
				return false
			}
		}
		return true
	})
}

// waitFor waits until done reports true.
func waitFor(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyCheck)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return eris.Errorf("not reached in time: %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

func (f *fleet) close() {
	f.stop()
	f.tasks.Wait()
	os.RemoveAll(f.dir)
}
