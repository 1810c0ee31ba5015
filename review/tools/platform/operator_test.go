package cases

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders to the core machines as the operator's API says: it follows a
// redirect twice, and moves on to another machine after a failure or a second.
type operator struct {
	fleet *fleet
	next  int
}

// call sends one attempt of an order to an address. It returns 0 without an answer.
func (o *operator) call(method, url string, body []byte, limit time.Duration) (status int, answer string) {
	client := &http.Client{
		Timeout:       limit,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for range 3 {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		if len(body) > 0 {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := client.Do(request)
		if err != nil {
			o.fleet.record.add("operator: %s %s -> no answer (%v)", method, url, err)
			return 0, err.Error()
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, err.Error()
		}
		o.fleet.record.add("operator: %s %s -> %d", method, url, response.StatusCode)
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, string(data)
		}
		url = response.Header.Get("Location")
	}
	return 0, "redirected too often"
}

// order sends an order until it gets a clear answer, at most for the limit.
func (o *operator) order(method, path string, body []byte, limit time.Duration) (int, string) {
	end := time.Now().Add(limit)
	for {
		node := o.fleet.cores[o.next%len(o.fleet.cores)]
		o.next++
		status, answer := o.call(method, "http://"+node.address(portControl)+path, body, time.Second)
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		if time.Now().After(end) {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// mustOrder is order for one that has to be acknowledged.
func (o *operator) mustOrder(method, path string, body []byte, limit time.Duration) error {
	status, answer := o.order(method, path, body, limit)
	if status < 200 || status > 299 {
		return fmt.Errorf("%s %s: %d %s", method, path, status, answer)
	}
	return nil
}
