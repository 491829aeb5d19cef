// Package stand2 has the scripts of the second review: real gateways on loopback addresses, with stand-ins for the store,
// the workers and the clients. It is in test files, as only those may use the platform's names; go test plays no case.
package stand2
