// Package config holds what operators publish, as immutable snapshots.
//
// Versions only rise. A document that can't be accepted leaves the last
// accepted one of its workspace in force and touches no other workspace.
package config
