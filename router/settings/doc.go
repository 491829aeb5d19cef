// Package settings holds what a router process is told at its start.
//
// Settings are one JSON file. Unknown fields, wrong units, duplicate addresses
// and host names in place of IP numbers are errors that name the JSON path.
// What operators publish while the fleet runs is in package config.
package settings
