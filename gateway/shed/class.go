package shed

// class groups the requests of a rank by their work for their value, compared with their route's mean.
type class int

const (
	lightClass class = iota
	middleClass
	heavyClass
	classes
)

const (
	// lightRatio and heavyRatio are the work for the value, relative to the route's mean, below which
	// a request is light and above which it is heavy.
	lightRatio = 0.8
	heavyRatio = 1.25
)

// classWeights are the shares of the classes that are served, relative to each other. The heaviest
// requests must be served at least half as often as their route's mean; the rest of the margin is for
// routes of one rank whose requests differ.
var classWeights = [classes]float64{1, 0.85, 0.55}

// classCounts counts requests by class.
type classCounts [classes]float64

// total returns the number of requests of all classes.
func (c *classCounts) total() float64 {
	return c[lightClass] + c[middleClass] + c[heavyClass]
}

// decay multiplies all counts.
func (c *classCounts) decay(factor float64) {
	for i := range c {
		c[i] *= factor
	}
}

// refusalProbability returns the probability with which requests of a class are refused, if requests
// of all classes together are refused with the given one. Shares served are proportional to
// classWeights, but at most 1.
func (c *classCounts) refusalProbability(of class, probability float64) float64 {
	if probability <= 0 {
		return 0
	}
	served := c.total() * (1 - probability)
	weighted := 0.0
	for i := range c {
		weighted += c[i] * classWeights[i]
	}
	// The classes have falling weights, so those before i are served as a whole if i is.
	for i := range of + 1 {
		if weighted <= 0 || served <= 0 {
			return 1
		}
		share := min(1, served/weighted*classWeights[i])
		if i == of || share < 1 {
			return 1 - min(1, served/weighted*classWeights[of])
		}
		served -= c[i]
		weighted -= c[i] * classWeights[i]
	}
	return 0
}
