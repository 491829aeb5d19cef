package balance

import "time"

// Role is the role of a router for an engine, by the router's own list of VMs.
type Role int

// The roles.
const (
	// RoleNone means that other routers manage the engine.
	RoleNone Role = iota
	// RoleHome means that the router is the first one in the engine's order of
	// routers.
	RoleHome
	// RoleBackup means that the router is the backup of the engine's home.
	RoleBackup
)

// Assignment is a router's role for one engine, by the router's own view of the
// fleet.
type Assignment struct {
	// Role is the router's role.
	Role Role
	// Home is the engine's home.
	Home string
	// Since is the earliest time at which the router has its role and routers with
	// an older list no longer admit work. Zero means that they may still do so.
	Since time.Time
	// SoleRouter reports whether there is no other router that could admit work.
	SoleRouter bool
	// HomeUnreachable reports whether this router, as the backup, can't reach the
	// home.
	HomeUnreachable bool
}
