package demo

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/examples"
	"cardamompoint.example/cardamompoint/internal/loopback"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// fleet is a deployment that runs in this process. Engines, services and servers are by
// address.
type fleet struct {
	dir      string
	network  *loopback.Network
	settings []*settings.Router
	platform *standin.Platform
	routers  []*router.Router
	engines  map[string]*standin.Engine
	services map[string]*standin.Service

	readyAt time.Time
	servers map[string]*http.Server
	stop    context.CancelFunc
	tasks   sync.WaitGroup
}

// startFleet starts all components of a deployment in this process and waits until the
// routers are ready. The caller must call close.
func startFleet(ctx context.Context, deployment string) (*fleet, error) {
	network, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cardamompoint-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create directory for the settings")
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{
		dir:      dir,
		network:  network,
		platform: standin.NewPlatform(),
		engines:  map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
		servers:  map[string]*http.Server{},
		stop:     stop,
	}
	if err := f.start(ctx, deployment); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// start unpacks the deployment's files and starts its components.
func (f *fleet) start(ctx context.Context, deployment string) error {
	if err := examples.Unpack(f.dir, deployment, f.network.Prefix); err != nil {
		return err
	}
	if err := f.platform.PublishDir(filepath.Join(f.dir, "published")); err != nil {
		return err
	}
	if err := f.startStandIns(); err != nil {
		return err
	}
	return f.startRouters(ctx)
}

// startStandIns starts the stand-ins of engines and services.
func (f *fleet) startStandIns() error {
	raw, err := os.ReadFile(filepath.Join(f.dir, "published", "vms.json"))
	if err != nil {
		return eris.Wrap(err, "read the list of VMs")
	}
	var vms []source.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return eris.Wrap(err, "decode the list of VMs")
	}
	for _, vm := range vms {
		switch vm.Role {
		case source.RoleEngine:
			engine := standin.NewEngine(standin.EngineOptions{
				TokenInterval:   standin.DefaultTokenInterval,
				CacheTokens:     standin.DefaultCacheTokens,
				StreamRetention: standin.DefaultStreamRetention,
			})
			f.engines[vm.Address] = engine
			err = f.serve(vm.Address, engine.Handler())
		case source.RoleService:
			service := standin.NewService(standin.ServiceOptions{Delay: standin.DefaultServiceDelay})
			f.services[vm.Address] = service
			err = f.serve(vm.Address, service.Handler())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// serve starts a server for a stand-in.
func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler}
	f.servers[address] = server
	f.tasks.Go(func() { _ = server.Serve(listener) })
	return nil
}

// startRouters starts the routers and, before the first one, the platform. It waits until
// all routers are ready.
func (f *fleet) startRouters(ctx context.Context) error {
	files, err := filepath.Glob(path.Join(f.dir, "settings", "*.json"))
	if err != nil {
		return eris.Wrap(err, "list the settings")
	}
	for i, file := range files {
		loaded, err := settings.Load(file)
		if err != nil {
			return err
		}
		if i == 0 {
			err = f.serve(loaded.Platform, f.platform.Handler())
		}
		if err != nil {
			return err
		}
		r, err := router.New(router.Options{Settings: loaded})
		if err != nil {
			return err
		}
		f.settings = append(f.settings, loaded)
		f.routers = append(f.routers, r)
		f.tasks.Go(func() { r.Run(context.Background(), ctx) })
	}
	err = f.waitReady(ctx)
	f.readyAt = time.Now()
	return err
}

// waitFor checks its condition every readyPollInterval, for up to readyTimeout.
const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// waitReady waits until all routers are ready and know each other.
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

// waitFor waits until done returns true. what is the condition, for the error.
func waitFor(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return eris.Errorf("timed out waiting until %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

// close stops all components and removes the settings.
func (f *fleet) close() {
	f.stop()
	for _, server := range f.servers {
		server.Close()
	}
	f.tasks.Wait()
	f.network.Close()
	os.RemoveAll(f.dir)
}
