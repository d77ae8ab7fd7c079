// Package entry serves clients on an entry VM: each request is matched to its route and account, sent to an endpoint,
// and answered with that endpoint's whole answer or with a refusal that says whether it ran.
package entry
