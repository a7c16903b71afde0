//! Admits requests on the client accounts of their keys.

use crate::admission::accounts::{KeyRefusal, find_account};
use crate::dialect::{CallInfo, Credential, Dialect};
use crate::node::Gateway;
use crate::routes::{Account, Route};
use crate::serve::http::RequestHead;
use crate::serve::reply::Refusal;
use std::rc::Rc;

impl<D: Dialect> Gateway<D> {
    /// Returns the account on which a request runs, or the refusal of one without a valid key.
    pub(crate) fn admit(
        &self,
        route: &Route,
        info: &CallInfo,
    ) -> Result<Option<Rc<Account>>, Refusal> {
        let routes = self.routes.borrow();
        match find_account(routes.accounts(), route.is_public, info.credential) {
            Ok(account) => Ok(account.cloned()),
            Err(refusal) => {
                let id = info.request_id.as_deref().unwrap_or_default();
                self.log_key_refusal(id, route, info.credential, refusal);
                Err(Refusal::new(401, refusal.reason()))
            }
        }
    }

    /// Logs a refusal with the digits that identify its key in the log of this process.
    fn log_key_refusal(
        &self,
        request_id: &str,
        route: &Route,
        credential: Credential,
        refusal: KeyRefusal,
    ) {
        let key = match credential {
            Credential::Key(key) => key.to_string(),
            Credential::Absent | Credential::Malformed => String::new(),
        };
        crate::event!("key_refused", "request" => request_id, "route" => route.name.as_str(),
            "reason" => refusal.to_string(), "key" => key,
            "version" => self.routes.borrow().version().unwrap_or_default());
    }

    /// Removes the headers that may hold an API key, so that nothing later passes them on.
    pub(crate) fn remove_credentials(&self, head: &mut RequestHead) {
        let has_accounts = self.routes.borrow().accounts().is_key_required();
        head.headers
            .retain(|header| !D::is_credential(header, has_accounts));
    }
}
