// Package note parses and checks release notes, the only way operators change the fleet.
package note
