// Package layout checks which packages may use which: the gateway and the router are two
// products under one roof.
package layout
