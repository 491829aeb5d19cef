// Package config holds the published configuration as immutable snapshots.
//
// Versions in force only rise. A document that is refused leaves the last accepted
// version of its workspace in force and does not affect other workspaces.
package config
