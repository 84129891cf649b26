//! Status codes of HTTP answers.

/// Whether an upstream's final answer can have this status code. Codes under 200 are those of interim
/// answers or of none, 101 answers a request for another protocol, which no host sends, and codes from
/// 600 on have no meaning (RFC 9110, section 15).
pub fn is_final_status(code: u16) -> bool {
    (200..=599).contains(&code)
}
