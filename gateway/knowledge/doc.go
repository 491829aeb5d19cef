// Package knowledge holds a VM's copy of the store's data: the configuration and
// the endpoints, and the time at which they were last known to be current.
//
// A Tracker applies changes and never goes back to an older revision. A Reader feeds
// it from the store, a PeerReader from other VMs: usually one VM, the leader, reads
// the store for several, and any VM may help while the store is unavailable.
package knowledge
