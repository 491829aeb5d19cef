// Package traffic holds the types that the parts of the gateway share: what
// operators published, which endpoints there are, and what a request asks for.
//
// The values are plain data. What is reached through a pointer to a
// Configuration or an Endpoint is immutable once it is shared.
package traffic
