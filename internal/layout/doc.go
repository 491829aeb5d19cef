// Package layout checks the imports between packages: the gateway and the router are two
// separate products in one repository.
package layout
