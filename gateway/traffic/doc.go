// Package traffic defines the types that the packages of the gateway share: the
// published configuration, the known endpoints, and the properties of a request.
//
// All types are plain data. Everything reachable through a pointer to a
// Configuration or an Endpoint is immutable once it is shared.
package traffic
