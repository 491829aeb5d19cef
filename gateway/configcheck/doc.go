// Package configcheck finds faults in a decoded configuration that don't prevent its use, and compares it with the
// version in force.
//
// Check finds entries that can never match, limits that contradict each other and restrictions that leave no region.
// Compare lists what changes. Neither shows keys: findings name them by their place in the document, differences by
// their number.
package configcheck
