package fleet

// DataCentre names a data centre.
type DataCentre string
