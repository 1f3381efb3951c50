package route

// Organisation is a customer organisation whose programs the deployment runs.
type Organisation struct {
	Name string
	// Priority ranks organisations before routes; 0 is the most urgent.
	Priority int
	// RatePerSecond and Burst bound its requests over all fronts, in requests per second
	// and in requests; 0 means no limit.
	RatePerSecond float64
	Burst         float64
}
