package router

import (
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// Options are what a Router is made of. Nil adapters are made from the
// settings.
type Options struct {
	// Settings are the checked settings.
	Settings *settings.Router
	// Config reads published configuration.
	Config source.Config
	// Lister reads the list of VMs.
	Lister source.Lister
	// Engine speaks to model engines.
	Engine endpoint.Engine
	// Orderer gives engines orders.
	Orderer endpoint.Orderer
	// Service speaks to plain services.
	Service endpoint.Service
	// Network connects routers and callers; nil means TCP.
	Network Network
}
