package balance

import "time"

// Role is what a router is to an engine by its own list of VMs.
type Role int

// The roles.
const (
	// RoleNone means that other routers manage the engine.
	RoleNone Role = iota
	// RoleHome is the first router of the engine's order.
	RoleHome
	// RoleBackup is the backup of the engine's home.
	RoleBackup
)

// Standing is what a router's view says of its role for one engine.
type Assignment struct {
	// Role is the role.
	Role Role
	// Home is the engine's home.
	Home string
	// Since is when the role began and routers with an older list had stopped
	// to act. Zero means that they may still act.
	Since time.Time
	// Alone tells that there is no other router that could act.
	SoleRouter bool
	// HomeLost tells a backup that it can't reach the home.
	HomeUnreachable bool
}
