package hashmix

// Mix is the finalizer of SplitMix64, which spreads a difference in any bit over all bits.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
