package dispatch

import (
	"slices"

	"savoryfall/core/prompt"
)

// maxIndexedParts is how many prompt parts each of the two generations of the index holds, about as many as some hundred engines
// have cached.
const maxIndexedParts = 16384

// maxIndexedHolders is how many endpoints the index holds for a part. A prompt that many ask for is held by tens.
const maxIndexedHolders = 32

// holderIndex finds the endpoints that were sent a prompt part. Whether they still have it cached is up to their caches. Parts that
// are not used for long are dropped, like those in a prefixcache.Cache. The zero value is empty.
type holderIndex struct {
	recent, previous map[uint64][]*endpoint
}

// add records that the endpoint was sent the parts.
func (x *holderIndex) add(e *endpoint, parts prompt.Chain) {
	for _, p := range parts {
		list := x.get(p.ID)
		if slices.Contains(list, e) {
			continue
		}
		if len(list) >= maxIndexedHolders {
			list = slices.Delete(list, 0, 1)
		}
		x.recent[p.ID] = append(list, e)
	}
}

// get returns the endpoints of a part, and keeps it as recently used.
func (x *holderIndex) get(part uint64) []*endpoint {
	if list, ok := x.recent[part]; ok {
		return list
	}
	list := x.previous[part]
	if x.recent == nil || len(x.recent) >= maxIndexedParts {
		x.previous, x.recent = x.recent, map[uint64][]*endpoint{}
	}
	x.recent[part] = list
	return list
}

// lookUp returns the endpoints that were sent the longest beginning of the prompt that any was.
func (x *holderIndex) lookUp(chain prompt.Chain) []*endpoint {
	for i := len(chain) - 1; i >= 0; i-- {
		list := x.recent[chain[i].ID]
		if len(list) == 0 {
			list = x.previous[chain[i].ID]
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// drop removes the endpoints that are not listed any more.
func (x *holderIndex) drop(listed func(e *endpoint) bool) {
	for _, generation := range []map[uint64][]*endpoint{x.recent, x.previous} {
		for id, list := range generation {
			generation[id] = slices.DeleteFunc(list, func(e *endpoint) bool { return !listed(e) })
		}
	}
}
