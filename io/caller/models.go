package caller

import (
	"encoding/json"
	"net/http"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func writeModels(w http.ResponseWriter, names []string) {
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "savoryfall"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
