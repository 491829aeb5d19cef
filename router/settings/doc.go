// Package settings defines the static settings of a router process.
//
// Settings are a JSON file. Unknown fields, values of the wrong type, duplicate
// addresses and host names in place of IP addresses are errors that carry the JSON
// path. The configuration that operators publish while the fleet runs is in package
// config.
package settings
