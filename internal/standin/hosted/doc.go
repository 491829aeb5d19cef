// Package hosted provides stand-ins for the hosting platform: its store, and endpoints that
// implement its protocol, with faults that tests can inject. It uses the platform's wire
// format. It is used by tests and the demo only.
package hosted
