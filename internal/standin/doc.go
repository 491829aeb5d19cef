// Package standin provides small stand-ins for the systems outside the fleet: the platform's
// service, model engines and plain services. The demo and the tests use them.
package standin
