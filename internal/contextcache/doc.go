// Package contextcache models the prefix cache of an engine for stand-ins and simulations.
package contextcache
