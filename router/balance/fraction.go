package balance

// Fraction is the fraction of an engine's caps that one router may use, in
// quarters.
type Fraction int

// The fractions of a home and its backup. FractionHome and FractionBackup add
// up to FractionWhole, so that a home and its backup stay within the caps while
// they can't reach each other.
const (
	FractionNone   Fraction = 0
	FractionBackup Fraction = 1
	FractionHome   Fraction = 3
	FractionWhole  Fraction = 4
)

// Of returns the fraction f of limit, rounded down, so that the results for two
// routers never add up to more than limit.
func (f Fraction) Of(limit int) int {
	return limit * int(f) / int(FractionWhole)
}
