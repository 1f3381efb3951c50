package fleet

// Uneven reports whether the backend servers of a service differ lastingly in speed.
func (f *Fleet) Uneven(string) bool {
	return false
}
