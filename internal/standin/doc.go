// Package standin has small stand-ins for what is outside the fleet: the
// platform's service, model engines and plain services. They serve the demo
// and the tests.
package standin
