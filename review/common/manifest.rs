//! The configuration of the cases, after the site sheets.

/// A configuration with a stream route on an engine service and routes on a plain service.
pub fn manifest(version: u64, more_routes: &str, more_services: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"practice-notes","host":"academy.example","pathPrefix":"/notes/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":1000,"priority":2,"service":"tutor-assistant","maxAttempts":2,"sticky":true,"resumable":true,"gapAimMs":300}},
{{"name":"lesson-charge","host":"academy.example","pathPrefix":"/charge/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":100,"priority":2,"service":"studio-desk","maxAttempts":1}},{more_routes}
{{"name":"schedule-lookup","host":"academy.example","pathPrefix":"/lookup/","kind":"safe","timeoutMs":8000,"targetLatencyMs":100,"priority":2,"service":"studio-desk","maxAttempts":2}}],
"services":[{{"name":"tutor-assistant","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvTokens":121105,"tokenKvBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m0","weightsMb":34300.0,"loadS":2.0,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.0}}],"weightsMb":36000.0,"adapterSlots":18,"loadsPerS":4.8}}}},{more_services}
{{"name":"studio-desk","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// An entry of the platform's list.
pub fn entry(id: &str, service: &str, address: &str, zone: &str, slots: u32, software: &str, born: u64) -> String {
    let models = match service {
        "tutor-assistant" => r#"{"name":"m0","version":1,"adapters":[]}"#,
        _ => "",
    };
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{software}","slots":{slots},"state":"ready","coldRemainingMs":0,"stage":"colocated","models":[{models}],"id":"{id}","born":{born}}}"#
    )
}

/// A page of the list with all entries.
pub fn page(entries: &[String]) -> String {
    format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","))
}
