// Package versionhistory keeps which software versions the endpoints of each service have had recently.
package versionhistory
