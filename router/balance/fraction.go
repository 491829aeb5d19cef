package balance

// Fraction is the part of an engine's caps that one router may use, in
// quarters.
type Fraction int

// The fractions. FractionHome and FractionBackup add up to FractionWhole, so
// that a home and its backup that can't see each other stay within the caps.
const (
	FractionNone   Fraction = 0
	FractionBackup Fraction = 1
	FractionHome   Fraction = 3
	FractionWhole  Fraction = 4
)

// Of returns the part of limit, rounded down, so that the parts of two routers
// never add up to more than limit.
func (f Fraction) Of(limit int) int {
	return limit * int(f) / int(FractionWhole)
}
