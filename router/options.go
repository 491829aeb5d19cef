package router

import (
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// Options configure a Router. Clients that are nil are created from the settings.
type Options struct {
	// Settings are the validated settings.
	Settings *settings.Router
	// Config reads the published configuration.
	Config source.ConfigReader
	// Lister reads the list of VMs.
	Lister source.VMLister
	// Engine sends work to model engines.
	Engine endpoint.Engine
	// Orderer sends placement orders to engines.
	Orderer endpoint.Orderer
	// Service sends calls to plain services.
	Service endpoint.Service
	// Network connects this router to others and to callers; nil means TCP.
	Network Network
}
